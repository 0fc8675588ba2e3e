package parser

import "gopkg.in/yaml.v3"

// mark is the progress of the search for cycles at one node.
type mark uint8

const (
	unseen mark = iota
	open
	closed
)

// cycles reports each alias that stands inside the node it names. Every node
// is visited once, so the search is linear however often aliases are used.
type cycles struct {
	*collector
	marks map[*yaml.Node]mark
}

// search reports whether a cycle was found at n or below it.
func (c *cycles) search(n *yaml.Node, path string) bool {
	switch c.marks[n] {
	case open:
		return true
	case closed:
		return false
	}
	c.marks[n] = open
	defer func() { c.marks[n] = closed }()
	if n.Kind == yaml.AliasNode {
		if c.marks[n.Alias] == open {
			c.add(path, n.Line, TitleCycle, "the alias *%s stands inside what it names", n.Value)
			return true
		}
		return c.search(n.Alias, path)
	}
	found := false
	for i, v := range n.Content {
		at := path
		if n.Kind == yaml.MappingNode && i%2 == 1 {
			at = join(path, n.Content[i-1].Value)
		}
		if c.search(v, at) {
			found = true
		}
	}
	return found
}
