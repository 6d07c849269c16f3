package daemon

import (
	"context"
	"net"
	"time"

	"collectd.org/network"

	"zincloft.example/zincloft/internal/governor/collectd"
	"zincloft.example/zincloft/internal/governor/graphite"
)

// startCollectd receives load reports until ctx ends, where there is a connection for them.
func (d *Daemon) startCollectd(ctx context.Context, conn net.PacketConn) {
	if conn == nil {
		return
	}
	server := collectd.New(d.collectdOptions(), d.queue, &d.counts)
	d.background.Go(func() { server.Serve(ctx, conn, d.log) })
}

func (d *Daemon) collectdOptions() collectd.Options {
	o := d.conf.Operator.Collectd
	options := collectd.Options{
		AllowedSources:   o.AllowedSources,
		MinLevel:         o.Security,
		PacketsPerSecond: o.PacketsPerSecond,
		ReplicaByHost:    o.ReplicaByHost,
		Mappings:         o.Mappings,
		ReadRetryDelay:   d.conf.Bounds.AcceptRetryDelay,
	}
	if o.UsersFile != "" {
		users := network.NewAuthFile(o.UsersFile)
		options.PasswordOf = func(user string) (string, bool) {
			password, err := users.Password(user)
			return password, err == nil
		}
	}
	return options
}

// startGraphite sends snapshots until ctx ends, where the operator file names a receiver.
func (d *Daemon) startGraphite(ctx context.Context) {
	options := d.conf.GraphiteOptions()
	if options.Address == "" {
		return
	}
	labels := graphite.Labels{ReplicaName: d.queue.Name}
	for _, group := range d.conf.Settings.Groups {
		labels.GroupNames = append(labels.GroupNames, group.Name)
	}
	d.graphite = graphite.New(options, labels, d.log)
	d.background.Go(func() { d.graphite.Run(ctx) })
}

// sendSnapshot fills a snapshot for Graphite when one is due. It never waits.
func (d *Daemon) sendSnapshot() {
	now := time.Now()
	if d.graphite == nil || now.Before(d.nextSnapshotAt) {
		return
	}
	d.nextSnapshotAt = now.Add(d.conf.Operator.Graphite.Interval)
	s := d.graphite.AcquireSnapshot()
	if s == nil {
		return
	}
	s.At = now
	d.governor.WriteView(d.now(), &s.View)
	if s.HasIntake = d.intake != nil; s.HasIntake {
		s.IntakeCounts = d.countsSinceStart
		s.IntakeSizes.Records, s.IntakeSizes.Senders, s.IntakeSizes.Pairs = d.intake.Sizes()
	}
	s.Duration = time.Since(now)
	d.graphite.SubmitSnapshot(s)
}
