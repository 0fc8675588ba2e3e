package registrar

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// Run is one run of a target's process as the platform lists it.
type Run struct {
	// Name is the identifier that the target gives itself.
	Name string `json:"name"`
	// StartMs is when the run started, in milliseconds of Unix time; 0 if unknown. It
	// tells apart runs of the same name, since a target that starts again may keep its
	// name.
	StartMs int64          `json:"born,omitzero"`
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	// Zone is the availability zone of the target.
	Zone string `json:"zone"`
	// Slots is the number of requests that the run processes at once.
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving,omitzero"`
	// WarmupLeft is the rest of the slow period after the start, as of the time at which
	// the entry was read. It is in nanoseconds on the wire.
	WarmupLeft time.Duration `json:"cold,omitzero"`
	// Copied means that the entry may be from the copy from which the platform's store has
	// returned: the target has not written it since, as far as the reader of the list knows.
	Copied bool `json:"copied,omitzero"`
}

// Key returns the identifier of the run among all runs.
func (r *Run) Key() string { return r.Name + "/" + strconv.FormatInt(r.StartMs, 10) }

// List is one revision of the platform's list of targets.
type List struct {
	// Revision orders lists; it is greater than 0. In a list that was just read from the
	// platform it is the store's revision; Numbering replaces it.
	Revision uint64 `json:"revision"`
	// Era rises each time the platform's store returns from a copy and may have lost what it
	// held; 0 if it names none, or if an older build made the list. Numbering gives a list of
	// a later era a higher revision.
	Era uint64 `json:"era,omitzero"`
	// MayBeIncomplete says that the list was made right after an outage of the platform
	// and may lack entries of live targets.
	MayBeIncomplete bool `json:"unsettled,omitzero"`
	// Grace is how long, after the list was made, runs that it omits may still be live, in
	// nanoseconds on the wire; 0 if the list is complete or an older build made it.
	Grace time.Duration `json:"grace,omitzero"`
	// Emptied holds the availability zones whose targets get no new requests, sorted. It is
	// nil if the list says nothing of it.
	Emptied []string `json:"emptied"`
	// TakenBack holds the zones that operators have taken back since the store returned from a
	// copy, sorted.
	TakenBack []string `json:"returned,omitempty"`
	// Runs is sorted by name.
	Runs []Run `json:"runs"`
	// Dropped is the number of runs that Decode has left out because they fail Check.
	Dropped int `json:"-"`
}

// Encode returns the list in the form that is sent to other instances.
func (l *List) Encode() ([]byte, error) {
	text, err := json.Marshal(l)
	return text, trace.Wrap(err)
}

// Decode parses a list that Encode returned. It leaves out runs that fail Check, which a reader
// of an older build may have listed.
func Decode(text []byte) (*List, error) {
	l := &List{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, trace.Wrap(err, "the list of targets is not valid JSON")
	}
	if l.Revision == 0 {
		return nil, trace.BadParameter("the revision of the list of targets is missing or 0, want 1 or more")
	}
	valid := slices.DeleteFunc(l.Runs, func(r Run) bool { return r.Check() != nil })
	l.Runs, l.Dropped = valid, len(l.Runs)-len(valid)
	return l, nil
}
