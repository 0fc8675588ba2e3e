// Package director decides which instances a client is told to connect to.
//
// Clients keep an answer for a while and choose among its addresses at random.
// They are named the instances of their own availability zone, so that requests
// do not cross zones on their way in; when few of these are left, the others are
// named too, so that the loss of a zone's instances does not crowd the last one.
package director
