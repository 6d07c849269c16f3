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
	"zincloft.example/zincloft/internal/exchange"
	"zincloft.example/zincloft/rules"
)

// Figure maps one value of a list to a figure of a replica.
type Figure struct {
	Figure         intake.Figure
	Plugin         string
	PluginInstance string // "": any
	Type           string
	TypeInstance   string // "": any
	Value          int    // its place in the list
	Scale, Offset  float64
}

// Options are what is listened to, and the bounds of it.
type Options struct {
	Allow      []netip.Prefix
	Level      Level
	Password   func(user string) (string, bool)
	PacketsPS  int               // that are parsed
	Hosts      map[string]string // a host's replica, where the names differ
	Figures    []Figure
	AcceptWait time.Duration // after a packet could not be read
}

// Inbox takes what is heard. It never waits.
type Inbox interface {
	exchange.Names
	Offer(exchange.Event) bool
}

// Server hears load reports.
type Server struct {
	opts   Options
	allow  bart.Lite
	pace   *rate.Limiter
	inbox  Inbox
	counts *counts.Counts
	parser Parser
}

// What is counted, by cause.
const (
	passed  counts.What = "collectd"          // packets passed over
	figured counts.What = "collectd, figures" // values of a mapped figure
)

// New returns a Server that hears nothing before Serve.
func New(o Options, x Inbox, c *counts.Counts) *Server {
	s := &Server{opts: o, pace: rate.NewLimiter(rate.Limit(o.PacketsPS), o.PacketsPS), inbox: x, counts: c,
		parser: Parser{Level: o.Level, Password: o.Password}}
	for _, p := range o.Allow {
		s.allow.Insert(p.Masked())
	}
	return s
}

const packetMost = 1 << 16 // no datagram is longer

// Serve hears packets until ctx ends, and then closes the connection.
func (s *Server) Serve(ctx context.Context, c net.PacketConn, log zerolog.Logger) {
	defer context.AfterFunc(ctx, func() { c.Close() })()
	log.Info().Str("collectd", c.LocalAddr().String()).Msg("listening")
	b := make([]byte, packetMost)
	for {
		n, from, err := c.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		} else if err != nil {
			s.counts.Add(passed, "can't be received")
			select {
			case <-ctx.Done():
			case <-time.After(s.opts.AcceptWait):
			}
			continue
		}
		s.Packet(from, b[:n], time.Now())
	}
}

// Packet takes in one packet. Who may not speak, and what is over the pace, is passed over before it is parsed.
func (s *Server) Packet(from net.Addr, b []byte, read time.Time) {
	u, is := from.(*net.UDPAddr)
	if !is || !s.allow.Contains(u.AddrPort().Addr().Unmap()) {
		s.counts.Add(passed, "source not allowed")
		return
	}
	if !s.pace.AllowN(read, 1) {
		s.counts.Add(passed, "over the pace")
		return
	}
	var loads []intake.Load
	err := s.parser.Parse(b, func(v *Values) { loads = s.figures(loads, v) })
	if err != nil {
		s.counts.Add(passed, cause(err))
	}
	if len(loads) > 0 && !s.inbox.Offer(exchange.Event{Loads: loads, Read: read}) {
		s.counts.Add(passed, "no room for reports")
	}
}

// cause puts an error into one of few causes, without a word of the peer.
func cause(err error) string {
	for _, known := range []error{ErrCut, ErrLength, ErrText, ErrSignature, ErrDecryption, ErrUser, ErrUnprotected, ErrNested} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "can't be read"
}

// figures adds what a set of values tells of a replica. Hosts and values that stand for nothing here leave no trace but
// a count.
func (s *Server) figures(loads []intake.Load, v *Values) []intake.Load {
	for i := range s.opts.Figures {
		f := &s.opts.Figures[i]
		if f.Plugin != v.Plugin || f.Type != v.Type || f.PluginInstance != "" && f.PluginInstance != v.PluginInstance ||
			f.TypeInstance != "" && f.TypeInstance != v.TypeInstance {
			continue
		}
		if f.Value >= len(v.Kinds) {
			s.counts.Add(figured, "no such value")
			continue
		}
		replica, known := s.replica(v.Host)
		if !known {
			s.counts.Add(figured, "unknown host")
			continue
		}
		s.counts.Add(figured, "heard")
		l := intake.Load{Replica: replica, Figure: f.Figure, Kind: v.Kinds[f.Value], Over: v.Interval, Scale: f.Scale, Offset: f.Offset,
			At: rules.Time(v.Time.UnixNano())}
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
	if name, mapped := s.opts.Hosts[host]; mapped {
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
