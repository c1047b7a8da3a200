// Nothing goes wrong.
import 'day.libsonnet'
