package exchanger

import "github.com/cespare/xxhash/v2"

// rememberedRequests is the number of requests that a connection remembers. A target that
// repeats a response does so for one of the last requests.
const rememberedRequests = 64

// carried holds the digests of the identifiers of the last requests that a connection has
// carried. A request whose caller sends it again under the same identifier goes to another
// connection: on this one a late copy of the earlier response would pass for its own.
type carried struct {
	digests [rememberedRequests]uint64
	// count is the number of requests since the connection was opened.
	count int
}

func (r *carried) add(id string) {
	r.digests[r.count%rememberedRequests] = xxhash.Sum64String(id)
	r.count++
}

// contains reports whether the connection may have carried a request with the identifier.
func (r *carried) contains(id string) bool {
	digest := xxhash.Sum64String(id)
	for k := range min(r.count, rememberedRequests) {
		if r.digests[k] == digest {
			return true
		}
	}
	return false
}
