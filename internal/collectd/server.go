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
	"zincloft.example/zincloft/internal/counts"
	"zincloft.example/zincloft/internal/eventqueue"
	"zincloft.example/zincloft/rules"
)

// Mapping maps one value of a list to a figure of a replica.
type Mapping struct {
	Figure         intake.LoadMetric
	Plugin         string
	PluginInstance string // "": any
	Type           string
	TypeInstance   string // "": any
	Value          int    // its place in the list
	Scale, Offset  float64
}

// Options are what is listened to, and the bounds of it.
type Options struct {
	AllowedSources   []netip.Prefix
	MinLevel         SecurityLevel
	PasswordOf       func(user string) (string, bool)
	PacketsPerSecond int               // that are parsed
	ReplicaByHost    map[string]string // a host's replica, where the names differ
	Mappings         []Mapping
	ReadRetryDelay   time.Duration // after a packet could not be read
}

// Inbox takes what is heard. It never waits.
type Inbox interface {
	eventqueue.ReplicaNames
	TryPost(eventqueue.Event) bool
}

// Server hears load reports.
type Server struct {
	options Options
	allowed bart.Lite
	limiter *rate.Limiter
	inbox   Inbox
	counts  *counts.Counter
	parser  Parser
}

// What is counted, by cause.
const (
	skippedPackets counts.Category = "collectd"          // packets passed over
	mappedValues   counts.Category = "collectd, figures" // values of a mapped figure
)

// New returns a Server that hears nothing before Serve.
func New(o Options, x Inbox, c *counts.Counter) *Server {
	s := &Server{options: o, limiter: rate.NewLimiter(rate.Limit(o.PacketsPerSecond), o.PacketsPerSecond), inbox: x, counts: c,
		parser: Parser{MinLevel: o.MinLevel, PasswordOf: o.PasswordOf}}
	for _, p := range o.AllowedSources {
		s.allowed.Insert(p.Masked())
	}
	return s
}

const maxDatagramBytes = 1 << 16 // no datagram is longer

// Serve hears packets until ctx ends, and then closes the connection.
func (s *Server) Serve(ctx context.Context, c net.PacketConn, log zerolog.Logger) {
	defer context.AfterFunc(ctx, func() { c.Close() })()
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

// HandlePacket takes in one packet. Who may not speak, and what is over the pace, is passed over before it is parsed.
func (s *Server) HandlePacket(from net.Addr, b []byte, read time.Time) {
	u, is := from.(*net.UDPAddr)
	if !is || !s.allowed.Contains(u.AddrPort().Addr().Unmap()) {
		s.counts.Add(skippedPackets, "source not allowed")
		return
	}
	if !s.limiter.AllowN(read, 1) {
		s.counts.Add(skippedPackets, "over the pace")
		return
	}
	var loads []intake.MachineLoad
	err := s.parser.Parse(b, func(v *Values) { loads = s.appendLoads(loads, v) })
	if err != nil {
		s.counts.Add(skippedPackets, causeOf(err))
	}
	if len(loads) > 0 && !s.inbox.TryPost(eventqueue.Event{Loads: loads, ReceivedAt: read}) {
		s.counts.Add(skippedPackets, "no room for reports")
	}
}

// causeOf puts an error into one of few causes, without a word of the peer.
func causeOf(err error) string {
	for _, known := range []error{ErrTruncated, ErrLength, ErrUnterminated, ErrSignature, ErrDecryption, ErrUnknownUser, ErrUnprotected, ErrNested} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "can't be read"
}

// appendLoads adds what a set of values tells of a replica. Hosts and values that stand for nothing here leave no trace but
// a count.
func (s *Server) appendLoads(loads []intake.MachineLoad, v *Values) []intake.MachineLoad {
	for i := range s.options.Mappings {
		f := &s.options.Mappings[i]
		if f.Plugin != v.Plugin || f.Type != v.Type || f.PluginInstance != "" && f.PluginInstance != v.PluginInstance ||
			f.TypeInstance != "" && f.TypeInstance != v.TypeInstance {
			continue
		}
		if f.Value >= len(v.Kinds) {
			s.counts.Add(mappedValues, "no such value")
			continue
		}
		replica, known := s.replica(v.Host)
		if !known {
			s.counts.Add(mappedValues, "unknown host")
			continue
		}
		s.counts.Add(mappedValues, "heard")
		l := intake.MachineLoad{Replica: replica, Metric: f.Figure, Kind: v.Kinds[f.Value], Interval: v.Interval, Scale: f.Scale, Offset: f.Offset,
			MeasuredAt: rules.Time(v.Time.UnixNano())}
		if l.Kind == intake.Gauge {
			l.Value = v.Gauge(f.Value)
		} else {
			l.Count = v.Raw[f.Value]
		}
		loads = append(loads, l)
	}
	return loads
}

func (s *Server) replica(host string) (rules.ReplicaID, bool) {
	if name, mapped := s.options.ReplicaByHost[host]; mapped {
		host = name
	}
	return s.inbox.ID([]byte(host))
}

// Listen opens the address.
func Listen(address string) (net.PacketConn, error) {
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, fmt.Errorf("collectd.listen: %w", err)
	}
	return c, nil
}
