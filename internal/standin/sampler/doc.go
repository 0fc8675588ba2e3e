// Package sampler reads the resource usage of a load: runs and probes from the
// recorder, calls from the platform, and CPU time, control traffic, retries, hedges
// and connections from the instances.
package sampler
