package steerer

import (
	"net/netip"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// Service is what the plan has to know of one service.
type Service struct {
	Place, Name string
	// Homes is the least number of addresses in an answer.
	Homes int
	// Active is the number of homes that take the calls at the same time, at least 1.
	Active int
}

// View is what an instance believes of the fleet.
type View struct {
	// Self is the instance's own member.
	Self detector.Member
	// Members holds the other members in any state.
	Members []detector.Member
	// Load is the load of an instance by its peer address, 1 when full; missing is 0.
	Load map[netip.AddrPort]float64
}
