package controlserver

import (
	"time"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/internal/daemons/peertransport"
	"zincloft.example/zincloft/internal/daemons/program"
)

// step passes an event to the controller and executes the resulting actions in a fixed order. It must be called by the goroutine of Run.
func (s *Server) step(event controller.Event) {
	event.WallClock = time.Duration(time.Now().UnixNano())
	actions := s.controller.Step(s.now(), event)
	for _, line := range actions.LogEvents {
		s.writeLog(line)
	}
	for _, send := range actions.Send {
		s.sendToPeer(send.To, peerFrame(send.Message))
	}
	if actions.Write != nil {
		s.persist(actions.Write)
	}
	for i := range actions.Publish {
		s.publish(&actions.Publish[i])
	}
	for _, response := range actions.Responses {
		if done := s.pendingCalls[response.Token]; done != nil {
			delete(s.pendingCalls, response.Token)
			done <- response
		}
	}
	s.stopped = s.stopped || actions.ShutdownComplete
	for _, id := range actions.CloseStreams {
		if stream := s.streams[id]; stream != nil {
			stream.Shutdown()
		}
	}
	if len(actions.Calls) > 0 {
		s.replicaCalls.Start(actions.Calls)
	}
}

func (s *Server) writeLog(line controller.LogEvent) {
	program.LogEvent(s.logger, line.Warning, line.Name, func(yield func(string, any) bool) {
		for _, field := range line.Fields {
			if !yield(field.Key, field.Value) {
				return
			}
		}
	})
}

// publish encodes a state update once and sends it on each of its streams.
func (s *Server) publish(publication *controller.Publication) {
	encoded, err := peertransport.EncodeFrame(&peertransport.Frame{StateUpdate: &publication.Update})
	if err != nil {
		s.logger.Error().Str("event", "encoding_failed").Err(err).Msg("state update could not be encoded and was not sent")
		return
	}
	for _, id := range publication.Streams {
		if stream := s.streams[id]; stream != nil {
			stream.Send(encoded)
		}
	}
}
