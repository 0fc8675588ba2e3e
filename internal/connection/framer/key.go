package framer

import (
	"encoding/hex"
	"strings"

	"github.com/gravitational/trace"
)

// MinSecretBytes is the least length of a shared secret in bytes.
const MinSecretBytes = 16

// Key is one shared secret of the fleet.
type Key struct {
	// ID names the key in a hello; it is not secret.
	ID string
	// Secret has at least MinSecret bytes.
	Secret []byte
}

// Keys is the key set of an instance. The first key signs, all verify, so that
// a key is replaced by adding the new one at the end everywhere, then moving it
// to the front everywhere, then removing the old one.
type Keys []Key

// ParseKeys reads keys written as id:hex, separated by commas, the signing key first.
func ParseKeys(text string) (Keys, error) {
	var keys Keys
	for item := range strings.SplitSeq(text, ",") {
		id, secret, found := strings.Cut(strings.TrimSpace(item), ":")
		if !found || id == "" {
			return nil, trace.BadParameter("a key is written id:hex")
		}
		if keys.find(id) != nil {
			return nil, trace.BadParameter("key %q stands twice", id)
		}
		bytes, err := hex.DecodeString(secret)
		if err != nil {
			return nil, trace.BadParameter("the secret of key %q is not hexadecimal", id)
		}
		if len(bytes) < MinSecretBytes {
			return nil, trace.BadParameter("the secret of key %q has %d bytes, the least is %d", id, len(bytes), MinSecretBytes)
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
