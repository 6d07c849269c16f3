package router

import (
	"cmp"
	"time"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/retry"
)

// budgetDivisor is 2 as gateways use half of the retry bounds only. The other half of the ratio is left since a deposit may be spent in the
// window after its request's; that of the slack for gateways that do not know of one another.
const budgetDivisor = 2

// defaultRetryWindow holds where Settings.RetryWindow is not set.
const defaultRetryWindow = 10 * time.Second

// StartRequest counts a client's request. It must be followed by EndRequest.
func (r *Router) StartRequest(now time.Duration, service string) {
	r.requestCounts[service]++
	r.inFlight++
	r.retryBudget(now, service).Deposit(now)
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
func (r *Router) TryRetry(now time.Duration, service string) bool {
	return r.retryBudget(now, service).TryWithdraw(now)
}

func (r *Router) admission(service string) *admission.Controller {
	if r.admissions[service] == nil {
		r.admissions[service] = admission.New()
	}
	return r.admissions[service]
}

func (r *Router) retryBudget(now time.Duration, service string) *retry.Budget {
	budget := r.retryBudgets[service]
	if budget == nil {
		since := now
		if r.mostGateways > 0 {
			since = r.gatewaysKnownSince
		}
		budget = retry.NewBudget(since, r.settings.RetryRatio/budgetDivisor, cmp.Or(r.settings.RetryWindow, defaultRetryWindow))
		budget.SetSlackShare(since, r.retrySlackShare())
		r.retryBudgets[service] = budget
	}
	return budget
}

// updateRetrySlack has the budgets follow the number of gateways. Their share never grows: a number that falls may only mean that some are out
// of sight.
func (r *Router) updateRetrySlack(now time.Duration) {
	if r.gateways <= r.mostGateways {
		return
	}
	if r.mostGateways == 0 {
		r.gatewaysKnownSince = now
	}
	r.mostGateways = r.gateways
	for _, budget := range r.retryBudgets {
		budget.SetSlackShare(now, r.retrySlackShare())
	}
}

// retrySlackShare is this gateway's share of the retry slack of a window. A gateway that was told by no member in this incarnation how many
// share it has none: it retries by what its requests deposit alone.
func (r *Router) retrySlackShare() float64 {
	if r.mostGateways == 0 {
		return 0
	}
	return r.settings.RetrySlack / float64(max(r.mostGateways, minGateways)) / budgetDivisor
}
