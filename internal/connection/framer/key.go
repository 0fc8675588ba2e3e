package framer

import (
	"encoding/hex"
	"strings"

	"github.com/gravitational/trace"
)

// MinSecretBytes is the least length of a shared secret.
const MinSecretBytes = 16

// Key is one shared secret of the fleet.
type Key struct {
	// ID identifies the key in a hello. It is not secret.
	ID string
	// Secret is at least MinSecretBytes long.
	Secret []byte
}

// Keys is the key set of an instance. The instance dials with the first key and
// accepts connections with any of them. To replace a key, add the new key at the
// end on all instances, then move it to the front on all instances, and then remove
// the old key.
type Keys []Key

// ParseKeys parses keys of the form id:hex that are separated by commas. The key to
// dial with comes first.
func ParseKeys(text string) (Keys, error) {
	var keys Keys
	for item := range strings.SplitSeq(text, ",") {
		id, secret, found := strings.Cut(strings.TrimSpace(item), ":")
		if !found || id == "" {
			return nil, trace.BadParameter("the key has no id, want id:hex")
		}
		if keys.find(id) != nil {
			return nil, trace.BadParameter("the key %q is listed twice", id)
		}
		bytes, err := hex.DecodeString(secret)
		if err != nil {
			return nil, trace.BadParameter("the secret of key %q is not hexadecimal", id)
		}
		if len(bytes) < MinSecretBytes {
			return nil, trace.BadParameter("the secret of key %q has %d bytes, want at least %d", id, len(bytes), MinSecretBytes)
		}
		keys = append(keys, Key{ID: id, Secret: bytes})
	}
	return keys, nil
}

func (k Keys) find(id string) *Key {
	for i := range k {
		if k[i].ID == id {
			return &k[i]
		}
	}
	return nil
}
