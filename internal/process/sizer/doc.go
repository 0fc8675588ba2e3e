// Package sizer tells an instance among how many instances it has to divide what the fleet
// may use together, such as its budget of retries and the messages to a limited target, also
// while it has met few of them.
package sizer
