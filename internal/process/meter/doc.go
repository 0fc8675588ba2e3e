// Package meter keeps the counters of one process and serves them for scraping.
package meter
