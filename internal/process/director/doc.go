// Package director chooses the instances that a client should connect to.
//
// Clients keep a response for a while and choose among its addresses at random. The
// response lists the instances of the client's own availability zone, so that requests
// reach their first instance without crossing zones. When few of these instances are
// left, it lists the instances of remote zones too, so that the clients of a zone that
// loses its instances do not overload the last one.
package director
