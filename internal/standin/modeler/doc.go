// Package modeler plays loads against ways to place requests, in virtual time.
//
// The model holds what makes placing hard: targets with few slots that slow down
// when they are nearly full and whose speed changes several times a second by
// their neighbours; many entry instances that share nothing; reports that are
// out of date once they arrive. It leaves out connections, settings and faults.
package modeler
