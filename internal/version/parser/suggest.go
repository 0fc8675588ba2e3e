package parser

import "fmt"

// maxTypos is the edit distance up to which a name is suggested.
const maxTypos = 2

// suggestion names the known name nearest to a mistyped one, if one is near.
func suggestion(name string, known []string) string {
	if name == "<<" {
		return "; merge keys are not read, since each level inherits from the one above"
	}
	best, nearest := maxTypos+1, ""
	for _, v := range known {
		if d := distance(name, v); d < best && d < len(v) {
			best, nearest = d, v
		}
	}
	if nearest == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", nearest)
}

// distance is the number of bytes to insert, remove or replace between a and b.
func distance(a, b string) int {
	if len(a) > len(b)+maxTypos || len(b) > len(a)+maxTypos {
		return maxTypos + 1
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
