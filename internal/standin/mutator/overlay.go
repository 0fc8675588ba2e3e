package mutator

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
)

// Edit replaces a text that occurs exactly once in a file.
type Edit struct {
	// File is the path of the file relative to the root of the tree.
	File string
	// Text must occur exactly once in File. By replaces it.
	Text, By string
}

// Overlay applies the edits in their order to copies of files of the tree at root. It
// writes the copies and the overlay file, which lists them for the -overlay flag of the go
// command, into the directory and returns the path of the overlay file. It returns an
// error if the text of an edit does not occur exactly once in its file.
func Overlay(root, directory string, edits []Edit) (string, error) {
	texts, replacements := map[string]string{}, map[string]string{}
	for _, e := range edits {
		path := filepath.Join(root, e.File)
		if _, read := texts[path]; !read {
			text, err := os.ReadFile(path)
			if err != nil {
				return "", trace.ConvertSystemError(err)
			}
			texts[path], replacements[path] = string(text), filepath.Join(directory, fmt.Sprint(len(replacements), ".go"))
		}
		if n := strings.Count(texts[path], e.Text); n != 1 {
			return "", trace.BadParameter("the text %q of an edit occurs %d times in %s, expected once", e.Text, n, e.File)
		}
		texts[path] = strings.Replace(texts[path], e.Text, e.By, 1)
	}
	for path, text := range texts {
		if err := os.WriteFile(replacements[path], []byte(text), 0o600); err != nil {
			return "", trace.ConvertSystemError(err)
		}
	}
	text, err := json.Marshal(map[string]any{"Replace": replacements})
	if err != nil {
		return "", trace.Wrap(err)
	}
	path := filepath.Join(directory, "overlay.json")
	return path, trace.ConvertSystemError(os.WriteFile(path, text, 0o600))
}
