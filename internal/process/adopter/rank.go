package adopter

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// rankBits is the number of leading bits of a digest that hold a rank, and rankBase
	// their value for rank 0. An unranked text has such a digest once in 1,000 times.
	rankBits = 12
	rankBase = 0xffc
	// maxRank is the greatest rank.
	maxRank = 3
	// paddingBits is the number of bytes by which a text grows, each one of two
	// white characters.
	paddingBits = 24
)

// Rank returns a text with white space after it, so that its digest takes precedence over
// that of any text of a lower rank, and of nearly any unranked one, under the same version.
// Instances of an earlier build encode a document without what they don't know; where they
// serve beside those of a later one, the rank makes all of them take the document that says
// more. Rank is from 1 to maxRank.
func Rank(text []byte, rank int) []byte {
	base := xxhash.New()
	// Writing to a Digest never fails.
	_, _ = base.Write(text)
	padding := make([]byte, paddingBits)
	for n := range 1 << paddingBits {
		for b := range padding {
			padding[b] = " \n"[n>>b&1]
		}
		digest := *base
		_, _ = digest.Write(padding)
		if digest.Sum64()>>(64-rankBits) == uint64(rankBase+min(rank, maxRank)) {
			break
		}
	}
	return append(append(make([]byte, 0, len(text)+paddingBits), text...), padding...)
}
