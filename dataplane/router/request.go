package router

import (
	"time"

	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/capacity"
	"zincloft.example/zincloft/dataplane/retry"
)

// budgetDivisor is 2 as gateways use half of the retry bounds only: the other half is left for what they do not know of one
// another.
const budgetDivisor = 2

// StartRequest counts a client's request. It must be followed by EndRequest.
func (r *Router) StartRequest(service string) {
	r.requestCounts[service]++
	r.inFlight++
	r.retryBudget(service).Deposit()
}

// EndRequest counts the end of a client's request, of an idempotent route or not, and whether it was slow because of this
// gateway itself.
func (r *Router) EndRequest(_ time.Duration, idempotent, slow bool) {
	r.inFlight--
	if !r.maintenanceEnabled {
		return
	}
	group := capacity.Orders
	if idempotent {
		group = capacity.Lookups
	}
	r.meter.RecordServed(group, slow)
	r.groupRequests[group]++
}

// InFlight returns how many requests of clients have not ended.
func (r *Router) InFlight() int { return r.inFlight }

// TryRetry withdraws a retry from the service's budget, if it holds one.
func (r *Router) TryRetry(service string) bool { return r.retryBudget(service).TryWithdraw() }

func (r *Router) admission(service string) *admission.Controller {
	if r.admissions[service] == nil {
		r.admissions[service] = admission.New()
	}
	return r.admissions[service]
}

func (r *Router) retryBudget(service string) *retry.Budget {
	budget := r.retryBudgets[service]
	if budget == nil {
		budget = retry.NewBudget(r.settings.RetryRatio/budgetDivisor, r.retryBurst())
		r.retryBudgets[service] = budget
	}
	return budget
}

// retryBurst is this gateway's share of the retry slack, by the number of gateways known.
func (r *Router) retryBurst() float64 {
	slack := r.settings.RetrySlack / float64(max(r.gateways, minGateways))
	return max(slack/budgetDivisor, 1)
}
