package collectd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/gaissmai/bart"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/counts"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/rules"
)

// Mapping maps one value of a list to a figure of a replica: value*Scale + Offset.
type Mapping struct {
	Metric         intake.LoadMetric
	Plugin         string
	PluginInstance string // "": any
	Type           string
	TypeInstance   string // "": any
	Value          int    // index in the list
	Scale, Offset  float64
}

// Options are what a Server accepts.
type Options struct {
	AllowedSources   []netip.Prefix
	MinLevel         SecurityLevel
	PasswordOf       func(user string) (string, bool)
	PacketsPerSecond int               // rate limit of packets that are parsed
	ReplicaByHost    map[string]string // a host's replica, where the names differ
	Mappings         []Mapping
	ReadRetryDelay   time.Duration // after a packet could not be received
}

// Inbox takes events and knows the replicas' names. Its methods never wait.
type Inbox interface {
	eventqueue.ReplicaNames
	TryPost(eventqueue.Input) bool
}

// Server receives load reports and offers them as events. Its methods must not be called concurrently.
type Server struct {
	options Options
	allowed bart.Lite
	limiter *rate.Limiter
	inbox   Inbox
	counts  *counts.Counter
	parser  Parser
}

// Categories of counts, which are keys of the log.
const (
	skippedPackets counts.Category = "collectd"          // packets that were skipped, all or in part
	mappedValues   counts.Category = "collectd, figures" // values of a mapped figure
)

// New returns a Server that receives nothing before Serve.
func New(o Options, inbox Inbox, c *counts.Counter) *Server {
	s := &Server{
		options: o,
		limiter: rate.NewLimiter(rate.Limit(o.PacketsPerSecond), o.PacketsPerSecond),
		inbox:   inbox,
		counts:  c,
		parser:  Parser{MinLevel: o.MinLevel, PasswordOf: o.PasswordOf},
	}
	for _, p := range o.AllowedSources {
		s.allowed.Insert(p.Masked())
	}
	return s
}

const maxDatagramBytes = 1 << 16 // the longest datagram

// Serve handles packets until ctx ends, and closes the connection then.
func (s *Server) Serve(ctx context.Context, c net.PacketConn, log zerolog.Logger) {
	defer context.AfterFunc(ctx, func() { _ = c.Close() })() // nothing can be lost by it
	log.Info().Str("collectd", c.LocalAddr().String()).Msg("listening")
	b := make([]byte, maxDatagramBytes)
	for {
		n, from, err := c.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		} else if err != nil {
			s.counts.Add(skippedPackets, "can't be received")
			select {
			case <-ctx.Done():
			case <-time.After(s.options.ReadRetryDelay):
			}
			continue
		}
		s.HandlePacket(from, b[:n], time.Now())
	}
}

// HandlePacket handles one packet. Packets of other sources, and those over the rate limit, are skipped before they are
// parsed.
func (s *Server) HandlePacket(from net.Addr, b []byte, read time.Time) {
	udp, isUDP := from.(*net.UDPAddr)
	if !isUDP || !s.allowed.Contains(udp.AddrPort().Addr().Unmap()) {
		s.counts.Add(skippedPackets, "source not allowed")
		return
	}
	if !s.limiter.AllowN(read, 1) {
		s.counts.Add(skippedPackets, "over the pace")
		return
	}
	var loads []intake.MachineLoad
	err := s.parser.Parse(b, func(v *ValueList) { loads = s.appendLoads(loads, v) })
	if err != nil {
		s.counts.Add(skippedPackets, causeOf(err))
	}
	if len(loads) > 0 && !s.inbox.TryPost(eventqueue.Input{Loads: loads, ReceivedAt: read}) {
		s.counts.Add(skippedPackets, "no room for reports")
	}
}

// causeOf reduces an error to one of a fixed set of causes, without text of the peer.
func causeOf(err error) string {
	for _, known := range []error{ErrTruncated, ErrLength, ErrUnterminated, ErrSignature, ErrDecryption, ErrUnknownUser, ErrUnprotected, ErrNested} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "can't be read"
}

// appendLoads adds the figures that a list of values gives. Hosts and values that map to nothing leave no trace but a count.
func (s *Server) appendLoads(loads []intake.MachineLoad, v *ValueList) []intake.MachineLoad {
	for i := range s.options.Mappings {
		mapping := &s.options.Mappings[i]
		if !mapping.matches(v) {
			continue
		}
		if mapping.Value >= len(v.Kinds) {
			s.counts.Add(mappedValues, "no such value")
			continue
		}
		replica, known := s.replica(v.Host)
		if !known {
			s.counts.Add(mappedValues, "unknown host")
			continue
		}
		s.counts.Add(mappedValues, "heard")
		loads = append(loads, mapping.load(replica, v))
	}
	return loads
}

// matches reports whether a list of values has the mapped value.
func (m *Mapping) matches(v *ValueList) bool {
	return m.Plugin == v.Plugin && m.Type == v.Type &&
		(m.PluginInstance == "" || m.PluginInstance == v.PluginInstance) &&
		(m.TypeInstance == "" || m.TypeInstance == v.TypeInstance)
}

// load returns the mapped value as a load report of a replica.
func (m *Mapping) load(replica rules.ReplicaID, v *ValueList) intake.MachineLoad {
	l := intake.MachineLoad{
		Replica:    replica,
		Metric:     m.Metric,
		Kind:       v.Kinds[m.Value],
		Interval:   v.Interval,
		Scale:      m.Scale,
		Offset:     m.Offset,
		MeasuredAt: rules.Time(v.Time.UnixNano()),
	}
	if l.Kind == intake.Gauge {
		l.Value = v.Gauge(m.Value)
	} else {
		l.Count = v.Raw[m.Value]
	}
	return l
}

// replica returns the replica of a host, whose name may be mapped.
func (s *Server) replica(host string) (rules.ReplicaID, bool) {
	if name, mapped := s.options.ReplicaByHost[host]; mapped {
		host = name
	}
	return s.inbox.ID([]byte(host))
}

// Listen opens the address for packets.
func Listen(ctx context.Context, address string) (net.PacketConn, error) {
	var config net.ListenConfig
	c, err := config.ListenPacket(ctx, "udp", address)
	if err != nil {
		return nil, fmt.Errorf("collectd.listen: %w", err)
	}
	return c, nil
}
