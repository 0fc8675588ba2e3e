package executor

import (
	"net/netip"
	"strings"
	"testing"
)

func TestOperationIDRoundTrip(t *testing.T) {
	for _, peer := range []string{"127.0.0.1:7001", "[::1]:7001"} {
		o := OperationID{
			Token: Token{Peer: netip.MustParseAddrPort(peer), Incarnation: 0xab, Epoch: 12},
			Part:  "order_7-A",
		}
		got, err := ParseOperationID(o.String())
		if err != nil || got != o {
			t.Errorf("ParseOperationID(%q) = %v, %v, want the same id and no error", o, got, err)
		}
	}
}

func TestParseOperationIDRejectsOtherForms(t *testing.T) {
	const token = "127.0.0.1:7001~00000000000000ab~12"
	for title, text := range map[string]string{
		"empty":                             "",
		"no caller part":                    token,
		"empty caller part":                 token + "/",
		"too long caller part":              token + "/" + strings.Repeat("a", MaxPartBytes+1),
		"second separator":                  token + "/a/b",
		"space in caller part":              token + "/a b",
		"letter outside ASCII":              token + "/é",
		"incarnation without leading zeros": "127.0.0.1:7001~ab~12/a",
		"incarnation in upper case":         "127.0.0.1:7001~00000000000000AB~12/a",
		"plus sign in epoch":                "127.0.0.1:7001~00000000000000ab~+12/a",
		"leading zero in epoch":             "127.0.0.1:7001~00000000000000ab~012/a",
		"negative epoch":                    "127.0.0.1:7001~00000000000000ab~-1/a",
		"epoch out of range":                "127.0.0.1:7001~00000000000000ab~99999999999999999999/a",
		"host name as address":              "localhost:7001~00000000000000ab~12/a",
		"no port":                           "127.0.0.1~00000000000000ab~12/a",
		"leading zero in port":              "127.0.0.1:07001~00000000000000ab~12/a",
		"IPv6 address in long form":         "[0:0:0:0:0:0:0:1]:7001~00000000000000ab~12/a",
		"fourth field":                      token + "~1/a",
	} {
		if o, err := ParseOperationID(text); err == nil {
			t.Errorf("%s: ParseOperationID(%q) = %v, want an error", title, text, o)
		}
	}
}
