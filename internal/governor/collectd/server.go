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

// Mapping maps one value of a value list to a load metric of a replica, as value*Scale + Offset.
type Mapping struct {
	Metric         intake.LoadMetric
	Plugin         string
	PluginInstance string // "": any
	Type           string
	TypeInstance   string // "": any
	Value          int    // index in the value list
	Scale, Offset  float64
}

// Options configure a Server.
type Options struct {
	AllowedSources   []netip.Prefix
	MinLevel         SecurityLevel
	PasswordOf       func(user string) (string, bool)
	PacketsPerSecond int               // rate limit of packets that are parsed
	ReplicaByHost    map[string]string // replica names of hosts whose names differ
	Mappings         []Mapping
	ReadRetryDelay   time.Duration // after a failed receive
}

// Inbox receives inputs and resolves replica names. Its methods never block.
type Inbox interface {
	eventqueue.ReplicaNames
	TryPost(eventqueue.Input) bool
}

// Server receives load reports and posts them as inputs. Its methods must not be called concurrently.
type Server struct {
	options Options
	allowed bart.Lite
	limiter *rate.Limiter
	inbox   Inbox
	counts  *counts.Counter
	parser  Parser
}

// Categories of counts, which are log keys.
const (
	skippedPackets counts.Category = "collectd"          // packets that were skipped or only partly used
	mappedValues   counts.Category = "collectd, figures" // values that match a mapping
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

const maxDatagramBytes = 1 << 16

// Serve handles packets until ctx is done, and then closes the connection.
func (s *Server) Serve(ctx context.Context, c net.PacketConn, log zerolog.Logger) {
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
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

// HandlePacket handles one packet. Packets from sources that are not allowed, and those over the rate limit, are skipped
// without being parsed.
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

// causeOf maps an error to one of a fixed set of causes, without text of the peer.
func causeOf(err error) string {
	for _, known := range []error{ErrTruncated, ErrLength, ErrUnterminated, ErrSignature, ErrDecryption, ErrUnknownUser, ErrUnprotected, ErrNested} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "can't be read"
}

// appendLoads appends the load reports that a value list maps to. Unknown hosts and missing values are only counted.
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

// matches reports whether the mapping applies to a value list.
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

// replica returns the replica of a host, after applying ReplicaByHost.
func (s *Server) replica(host string) (rules.ReplicaID, bool) {
	if name, mapped := s.options.ReplicaByHost[host]; mapped {
		host = name
	}
	return s.inbox.ID([]byte(host))
}

// Listen opens the UDP address for packets.
func Listen(ctx context.Context, address string) (net.PacketConn, error) {
	var config net.ListenConfig
	c, err := config.ListenPacket(ctx, "udp", address)
	if err != nil {
		return nil, fmt.Errorf("collectd.listen: %w", err)
	}
	return c, nil
}
