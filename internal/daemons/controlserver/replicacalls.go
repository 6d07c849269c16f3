package controlserver

import (
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/internal/daemons/connlimit"
	"zincloft.example/zincloft/internal/daemons/grantclient"
)

// newReplicaCalls returns the client for Actions.Calls. The results of calls that end together are passed to the controller by one task.
func (s *Server) newReplicaCalls() *grantclient.Client {
	return grantclient.New(grantclient.Config{
		Now:            s.now,
		DialAddress:    s.settings.DialAddress,
		Deliver:        func(results []ownership.CallResult) { s.enqueue(func() { s.stepCallResults(results) }) },
		MaxConnections: connlimit.Share(s.settings.FileDescriptors, replicaDescriptorShare),
		Logger:         s.logger,
	})
}

// stepCallResults passes the results of calls to replicas to the controller.
func (s *Server) stepCallResults(results []ownership.CallResult) {
	for i := range results {
		s.step(controller.Event{CallResult: &results[i]})
	}
}
