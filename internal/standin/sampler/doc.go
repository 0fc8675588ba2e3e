// Package sampler reads what a load cost: runs and probes from the recorder, calls
// from the platform, and processor time and control traffic from the instances.
package sampler
