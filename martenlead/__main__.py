from martenlead.cli.main import main

main()
