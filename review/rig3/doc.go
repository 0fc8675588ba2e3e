// Command rig3 plays the script cases of the third review: it starts instances as separate
// processes, meets them with small stand-ins of clients, upstreams and the store on loopback
// addresses, and writes what was sent, answered and run to record.txt.
package main
