package daemon

import (
	"context"
	"net"
	"time"

	"collectd.org/network"

	"zincloft.example/zincloft/internal/governor/collectd"
	"zincloft.example/zincloft/internal/governor/graphite"
)

// startCollectd receives load reports until ctx is done. It does nothing if conn is nil.
func (d *Daemon) startCollectd(ctx context.Context, conn net.PacketConn) {
	if conn == nil {
		return
	}
	server := collectd.New(d.collectdOptions(), d.queue, &d.counts)
	d.background.Go(func() { server.Serve(ctx, conn, d.log) })
}

func (d *Daemon) collectdOptions() collectd.Options {
	o := d.config.Operator.Collectd
	options := collectd.Options{
		AllowedSources:   o.AllowedSources,
		MinLevel:         o.Security,
		PacketsPerSecond: o.PacketsPerSecond,
		ReplicaByHost:    o.ReplicaByHost,
		Mappings:         o.Mappings,
		ReadRetryDelay:   d.config.Bounds.AcceptRetryDelay,
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

// startGraphite sends snapshots until ctx is done, if the operator file has a Graphite address.
func (d *Daemon) startGraphite(ctx context.Context) {
	options := d.config.GraphiteOptions()
	if options.Address == "" {
		return
	}
	labels := graphite.Labels{ReplicaName: d.queue.Name}
	for _, group := range d.config.Settings.Groups {
		labels.GroupNames = append(labels.GroupNames, group.Name)
	}
	d.graphite = graphite.New(options, labels, d.log)
	d.background.Go(func() { d.graphite.Run(ctx) })
}

// sendSnapshot fills and submits a Graphite snapshot when one is due. It never blocks.
func (d *Daemon) sendSnapshot() {
	now := time.Now()
	if d.graphite == nil || now.Before(d.nextSnapshotAt) {
		return
	}
	d.nextSnapshotAt = now.Add(d.config.Operator.Graphite.Interval)
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
