package parser

import "fmt"

// maxEditDistance is the maximum edit distance of a suggested name, in bytes.
const maxEditDistance = 2

// suggestion returns the end of a fault text that suggests the known name closest
// to a mistyped name. It is empty when no known name is close.
func suggestion(name string, known []string) string {
	if name == "<<" {
		return "; merge keys are not supported, since each level inherits from the level above"
	}
	best, nearest := maxEditDistance+1, ""
	for _, v := range known {
		if d := editDistance(name, v); d < best && d < len(v) {
			best, nearest = d, v
		}
	}
	if nearest == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", nearest)
}

// editDistance returns the Levenshtein distance of a and b in bytes. It returns
// maxEditDistance+1 when the lengths differ by more than maxEditDistance.
func editDistance(a, b string) int {
	if len(a) > len(b)+maxEditDistance || len(b) > len(a)+maxEditDistance {
		return maxEditDistance + 1
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		previous := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := previous
			if a[i-1] != b[j-1] {
				cost = 1 + min(previous, row[j], row[j-1])
			}
			previous, row[j] = row[j], cost
		}
	}
	return row[len(b)]
}
