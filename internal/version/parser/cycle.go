package parser

import "gopkg.in/yaml.v3"

// visitState is the progress of the cycle search at one node.
type visitState uint8

const (
	unvisited visitState = iota
	inProgress
	visited
)

// cycleSearch reports each alias that refers to a node that contains it. It
// visits every node once, so its time is linear in the size of the document,
// even with many aliases.
type cycleSearch struct {
	*collector
	states map[*yaml.Node]visitState
}

// find reports whether n or a node below it is in an alias cycle.
func (c *cycleSearch) find(n *yaml.Node, path string) bool {
	switch c.states[n] {
	case inProgress:
		return true
	case visited:
		return false
	}
	c.states[n] = inProgress
	defer func() { c.states[n] = visited }()
	if n.Kind == yaml.AliasNode {
		if c.states[n.Alias] == inProgress {
			c.add(path, n.Line, TitleCycle, "the alias *%s refers to a node that contains it", n.Value)
			return true
		}
		return c.find(n.Alias, path)
	}
	found := false
	for i, v := range n.Content {
		at := path
		if n.Kind == yaml.MappingNode && i%2 == 1 {
			at = join(path, n.Content[i-1].Value)
		}
		if c.find(v, at) {
			found = true
		}
	}
	return found
}
