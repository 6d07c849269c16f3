package clients

import (
	"strconv"
	"strings"

	"zincloft.example/zincloft/internal/governor/resp"
	"zincloft.example/zincloft/rules"
)

// assignment is one part of a message to a proxy. Fields that are empty are not sent.
type assignment struct {
	groups         rules.GroupSet // 0: all
	full           bool
	weights        []weight
	level          *rules.Admit
	eject, restore []rules.ReplicaID
	mark           *rules.AckRequest
	continued      bool // by another part of the message
}

// weight is that of a replica in a table.
type weight struct {
	replica rules.ReplicaID
	value   float64
}

// lineCount returns the size of the part in lines of the channel to the proxies.
func (p *assignment) lineCount() int {
	n := len(p.weights) + len(p.eject) + len(p.restore)
	for _, one := range []bool{p.full, p.level != nil, p.mark != nil} {
		if one {
			n++
		}
	}
	return n
}

// encode appends a part of a message to b.
func (c *codec) encode(b []byte, p *assignment) []byte {
	elements := []string{"assign"}
	add := func(name, value string) { elements = append(elements, name, value) }
	if p.groups != 0 && p.groups != 1<<len(c.groups)-1 {
		add("routes", c.groupNames(p.groups))
	}
	if p.full {
		add("full", "1")
	}
	if len(p.weights) > 0 {
		add("endpoints", c.formatWeights(p.weights))
	}
	if p.level != nil {
		add("admit", strconv.FormatFloat(p.level.Level, 'f', -1, 32))
		add("policy", strconv.Itoa(int(p.level.Retry)))
	}
	if len(p.eject) > 0 {
		add("eject", c.join(p.eject))
	}
	if len(p.restore) > 0 {
		add("restore", c.join(p.restore))
	}
	if p.mark != nil {
		add("nonce_out", strconv.Itoa(int(p.mark.Version)))
	}
	if p.continued {
		add("continued", "1")
	}
	return resp.Append(b, elements...)
}

func (c *codec) groupNames(set rules.GroupSet) string {
	var names []string
	for i, name := range c.groups {
		if set&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, "+")
}

func (c *codec) formatWeights(weights []weight) string {
	var text []byte
	for i, w := range weights {
		if i > 0 {
			text = append(text, ',')
		}
		name, _ := c.name(w.replica)
		text = append(append(text, name...), ':')
		text = strconv.AppendFloat(text, w.value, 'f', -1, 32)
	}
	return string(text)
}

// join returns the names of replicas, with commas between.
func (c *codec) join(ids []rules.ReplicaID) string {
	var named []string
	for _, id := range ids {
		name, _ := c.name(id)
		named = append(named, name)
	}
	return strings.Join(named, ",")
}
