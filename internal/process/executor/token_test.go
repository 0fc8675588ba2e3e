package executor

import (
	"net/netip"
	"strings"
	"testing"
)

func TestOperationRoundTrip(t *testing.T) {
	for _, peer := range []string{"127.0.0.1:7001", "[::1]:7001"} {
		o := OperationID{
			Token: Token{Peer: netip.MustParseAddrPort(peer), Incarnation: 0xab, Epoch: 12},
			Part:  "order_7-A",
		}
		got, err := ParseOperationID(o.String())
		if err != nil || got != o {
			t.Errorf("ParseOperation(%q) = %v, %v", o, got, err)
		}
	}
}

func TestOperationRefusesOtherForms(t *testing.T) {
	const token = "127.0.0.1:7001~00000000000000ab~12"
	for title, text := range map[string]string{
		"empty":                 "",
		"no part":               token,
		"empty part":            token + "/",
		"long part":             token + "/" + strings.Repeat("a", MaxPart+1),
		"second separator":      token + "/a/b",
		"space in part":         token + "/a b",
		"letter outside ASCII":  token + "/é",
		"short incarnation":     "127.0.0.1:7001~ab~12/a",
		"upper case":            "127.0.0.1:7001~00000000000000AB~12/a",
		"sign in epoch":         "127.0.0.1:7001~00000000000000ab~+12/a",
		"leading zero":          "127.0.0.1:7001~00000000000000ab~012/a",
		"negative epoch":        "127.0.0.1:7001~00000000000000ab~-1/a",
		"epoch out of range":    "127.0.0.1:7001~00000000000000ab~99999999999999999999/a",
		"host name":             "localhost:7001~00000000000000ab~12/a",
		"no port":               "127.0.0.1~00000000000000ab~12/a",
		"unusual port":          "127.0.0.1:07001~00000000000000ab~12/a",
		"unusual IPv6 spelling": "[0:0:0:0:0:0:0:1]:7001~00000000000000ab~12/a",
		"fourth field":          token + "~1/a",
	} {
		if o, err := ParseOperationID(text); err == nil {
			t.Errorf("%s: ParseOperation(%q) = %v, want an error", title, text, o)
		}
	}
}
