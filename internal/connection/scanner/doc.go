// Package scanner reads the heads and chunked bodies of HTTP/1 messages within a
// bound, and checks the lines of heads.
//
// The readers of net/http buffer a header of any length. A peer that sends bytes
// without end would fill the memory of the process. They also accept lines that
// other parsers understand differently.
package scanner
