package scalerun

import (
	"context"
	"time"
)

// calmAfterLoss is the time in which the view has changed and gateways have settled after the loss of a member.
const calmAfterLoss = 3 * time.Second

// loseMember kills the last member, waits until its gateways have joined another one, starts it again and waits until it is back in
// the chain. With fewer than three members it does nothing.
func (e *experiment) loseMember(ctx context.Context) error {
	if len(e.members) < minQuorumSize {
		return nil
	}
	last := len(e.members) - 1
	lost, lostAddress := e.members[last], e.peerAddress(last)
	orphans := e.gatewaysOf(lostAddress)
	receivedBefore := e.gatewayReceived.Snapshot()
	killedAt := time.Now()
	lost.kill()
	err := e.withoutProcess(lost, func() error {
		err := e.until(ctx, "the orphans hold a full state of another member", func() bool { return allRejoined(orphans, lostAddress, killedAt) })
		if err != nil {
			return err
		}
		e.addQuantiles(roleGateway, "member killed: joined another after", "s", secondsUntilJoined(orphans, killedAt))
		e.addRow(roleGateway, "member killed: bytes told until then", "MB", bytesBetween(receivedBefore, e.gatewayReceived.Snapshot())/bytesPerMB)
		return e.wait(ctx, calmAfterLoss)
	})
	if err != nil {
		return err
	}
	if err := e.restartMember(ctx, lost); err != nil {
		return err
	}
	e.logf("a member was killed (%d gateways) and is back", len(orphans))
	return nil
}

// gatewaysOf lists the synthetic gateways that hold a member's stream.
func (e *experiment) gatewaysOf(memberAddress string) []*SyntheticGateway {
	var all []*SyntheticGateway
	for _, gateway := range e.gateways {
		if member, _ := gateway.Connection(); member == memberAddress {
			all = append(all, gateway)
		}
	}
	return all
}

// allRejoined tells whether gateways hold a full state of another member than the lost one, that came after its loss.
func allRejoined(gateways []*SyntheticGateway, lostAddress string, lostAt time.Time) bool {
	for _, gateway := range gateways {
		member, since := gateway.Connection()
		if member == "" || member == lostAddress || !since.After(lostAt) {
			return false
		}
	}
	return true
}

// restartMember starts a member again and measures until it is back in the chain.
func (e *experiment) restartMember(ctx context.Context, p *process) error {
	startedAt := time.Now()
	if err := p.start(false); err != nil {
		return err
	}
	if err := e.until(ctx, "the member is back in the chain", func() bool { return memberReady(ctx, p.controlAddress) }); err != nil {
		return err
	}
	e.addRow(roleMember, "back in the chain after", "s", time.Since(startedAt).Seconds())
	if used, err := p.usage(); err == nil { // else it has ended again, which the next wait finds
		e.addRow(roleMember, "back: read by then", "MB", used.Read/bytesPerMB)
		e.addRow(roleMember, "back: processor by then", "s", used.CPU.Seconds())
		e.addRow(roleMember, "back: peak memory by then", "MB", used.Peak/bytesPerMB)
	}
	return nil
}
