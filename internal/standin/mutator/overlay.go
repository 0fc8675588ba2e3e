package mutator

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
)

// Edit replaces a text that stands exactly once in a file.
type Edit struct {
	// File is a path within the tree.
	File     string
	Text, By string
}

// Overlay writes edited copies of files of a tree into a directory and returns the
// path of the file that names them to the compiler (go build -overlay). An edit
// whose text does not stand exactly once in its file is an error.
func Overlay(root, directory string, edits []Edit) (string, error) {
	texts, replaced := map[string]string{}, map[string]string{}
	for _, e := range edits {
		path := filepath.Join(root, e.File)
		if _, read := texts[path]; !read {
			text, err := os.ReadFile(path)
			if err != nil {
				return "", trace.ConvertSystemError(err)
			}
			texts[path], replaced[path] = string(text), filepath.Join(directory, fmt.Sprint(len(replaced), ".go"))
		}
		if n := strings.Count(texts[path], e.Text); n != 1 {
			return "", trace.BadParameter("%q stands %d times in %s", e.Text, n, e.File)
		}
		texts[path] = strings.Replace(texts[path], e.Text, e.By, 1)
	}
	for path, text := range texts {
		if err := os.WriteFile(replaced[path], []byte(text), 0o600); err != nil {
			return "", trace.ConvertSystemError(err)
		}
	}
	text, err := json.Marshal(map[string]any{"Replace": replaced})
	if err != nil {
		return "", trace.Wrap(err)
	}
	path := filepath.Join(directory, "overlay.json")
	return path, trace.ConvertSystemError(os.WriteFile(path, text, 0o600))
}
