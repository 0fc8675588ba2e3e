// Package inspector reads what the kernel knows of a TCP connection, and sets how long the kernel
// waits for its peer.
package inspector
