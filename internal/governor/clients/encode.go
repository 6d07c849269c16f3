package clients

import (
	"strconv"
	"strings"

	"zincloft.example/zincloft/internal/governor/resp"
	"zincloft.example/zincloft/rules"
)

// assignment is one part of a message to a proxy. Empty fields are not sent.
type assignment struct {
	groups         rules.GroupSet // 0: all
	full           bool
	weights        []weight
	level          *rules.Admit
	eject, restore []rules.ReplicaID
	ackRequest     *rules.AckRequest
	continued      bool // another part of the message follows
}

// weight is the weight of a replica in a table.
type weight struct {
	replica rules.ReplicaID
	value   float64
}

// entryCount returns the number of entries in the part, as the channel to the proxies counts them.
func (p *assignment) entryCount() int {
	n := len(p.weights) + len(p.eject) + len(p.restore)
	for _, isSet := range []bool{p.full, p.level != nil, p.ackRequest != nil} {
		if isSet {
			n++
		}
	}
	return n
}

// encode appends the encoded part to b.
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
		add("eject", c.joinNames(p.eject))
	}
	if len(p.restore) > 0 {
		add("restore", c.joinNames(p.restore))
	}
	if p.ackRequest != nil {
		add("nonce_out", strconv.Itoa(int(p.ackRequest.Version)))
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

// joinNames returns the names of replicas, separated by commas.
func (c *codec) joinNames(ids []rules.ReplicaID) string {
	var names []string
	for _, id := range ids {
		name, _ := c.name(id)
		names = append(names, name)
	}
	return strings.Join(names, ",")
}
