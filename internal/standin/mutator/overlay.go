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
	texts, err := apply(root, edits)
	if err != nil {
		return "", err
	}
	replacements := map[string]string{}
	for path, text := range texts {
		replacements[path] = filepath.Join(directory, fmt.Sprint(len(replacements), ".go"))
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

// Rewrite applies the edits in their order to the files of the tree at root. It changes no
// file if the text of an edit does not occur exactly once in its file.
func Rewrite(root string, edits []Edit) error {
	texts, err := apply(root, edits)
	if err != nil {
		return err
	}
	for path, text := range texts {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// apply returns the texts of the files that the edits change, by their path.
func apply(root string, edits []Edit) (map[string]string, error) {
	texts := map[string]string{}
	for _, e := range edits {
		path := filepath.Join(root, e.File)
		if _, read := texts[path]; !read {
			text, err := os.ReadFile(path)
			if err != nil {
				return nil, trace.ConvertSystemError(err)
			}
			texts[path] = string(text)
		}
		if n := strings.Count(texts[path], e.Text); n != 1 {
			return nil, trace.BadParameter("the text %q of an edit occurs %d times in %s, expected once", e.Text, n, e.File)
		}
		texts[path] = strings.Replace(texts[path], e.Text, e.By, 1)
	}
	return texts, nil
}
