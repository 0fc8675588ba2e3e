package adopter

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// Guards against a list of an instance of an earlier build that replaces the list of a
// later one under the same version, with less in it: half of all lists would, by their
// digests. In each order of the offers, all instances end with the list that says more.
func TestTheDocumentThatSaysMoreTakesPrecedence(t *testing.T) {
	type list struct {
		Version uint64   `json:"version"`
		Emptied []string `json:"emptied"`
		Runs    []string `json:"runs"`
	}
	check := func(text []byte) (*list, uint64, error) {
		l := &list{}
		err := json.Unmarshal(text, l)
		return l, l.Version, err
	}
	now := time.Unix(0, 0)
	for version := range uint64(100) {
		earlier := []byte(fmt.Sprintf(`{"version":%d,"runs":["a","b"]}`, version+1))
		later := Rank([]byte(fmt.Sprintf(`{"version":%d,"emptied":["z"],"runs":["a","b"]}`, version+1)), 1)
		for _, order := range [][][]byte{{earlier, later, earlier}, {later, earlier, later}} {
			a := &Adopter[list]{Check: check}
			for _, text := range order {
				a.Offer(text, 0, 0, now)
			}
			require.Equal(t, []string{"z"}, a.Current().Emptied)
		}
		further := Rank([]byte(fmt.Sprintf(`{"version":%d,"emptied":["z"],"more":1}`, version+1)), 2)
		require.Greater(t, xxhash.Sum64(further), xxhash.Sum64(later), "a higher rank takes precedence")
	}
}

func BenchmarkRank(b *testing.B) {
	text := make([]byte, 300<<10)
	for b.Loop() {
		Rank(text, 1)
	}
}
