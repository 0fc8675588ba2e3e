package generator

import (
	"math/rand"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// TestCheck guards against accepting a truncated body or a body whose end belongs to
// another request.
func TestCheck(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng = rand.New(rand.NewSource(1))
	properties := gopter.NewProperties(parameters)
	size := gen.IntRange(1, 500)
	properties.Property("a complete body yields its request id", prop.ForAll(func(id string, n int) bool {
		got, err := Check(Body(id, n))
		return err == nil && got == id
	}, gen.Identifier(), size))
	properties.Property("a truncated body fails", prop.ForAll(func(id string, n, lost int) bool {
		body := Body(id, n)
		_, err := Check(body[:len(body)-min(lost, n)])
		return err != nil
	}, gen.Identifier(), size, size))
	properties.Property("a body with the end of another body fails", prop.ForAll(func(first, other string, n int) bool {
		mixed := Body(first, n+8)
		tail := Body(other, n+8)
		copy(mixed[len(mixed)-8:], tail[len(tail)-8:])
		_, err := Check(mixed)
		return first == other || err != nil
	}, gen.Identifier(), gen.Identifier(), size))
	properties.TestingRun(t)
}
