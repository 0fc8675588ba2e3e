// Package meter keeps the metrics of one process and serves them for scraping. It
// also holds the reference of all metrics of an instance on a platform.
package meter
