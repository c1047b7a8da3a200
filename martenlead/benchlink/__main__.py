from martenlead.benchlink.wire import main

main()
