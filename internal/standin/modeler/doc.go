// Package modeler simulates strategies to place requests on targets, in virtual time.
//
// The simulation includes the conditions that make placement difficult:
//
//   - Targets have few slots and slow down when most of their slots are busy. Their
//     speed changes several times per second, since they share their machines with
//     neighbours.
//   - Many instances receive requests and share no state.
//   - Load reports are outdated when they arrive.
//
// It leaves out connections, settings and faults.
package modeler
