package router

import (
	"cmp"
	"time"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/retry"
)

// budgetDivisor divides the retry limits of the settings, so that gateways use only half of them: half of the ratio, because a
// deposit may be withdrawn in a later window than its request, and half of the slack, because gateways may not know of each
// other.
const budgetDivisor = 2

// defaultRetryWindow is used if Settings.RetryWindow is not set.
const defaultRetryWindow = 10 * time.Second

// StartRequest counts a client request. It must be followed by EndRequest.
func (r *Router) StartRequest(now time.Duration, service string) {
	r.requestCounts[service]++
	r.inFlight++
	r.retryBudget(now, service).Deposit(now)
}

// EndRequest counts the end of a client request. Idempotent tells whether the route is idempotent, and slow whether this
// gateway itself delayed the request.
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

// InFlight returns the number of client requests in flight.
func (r *Router) InFlight() int { return r.inFlight }

// TryRetry withdraws a retry from the service's retry budget. It returns false if the budget is exhausted.
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
		accruesFrom := now
		if r.maxGateways > 0 {
			accruesFrom = r.gatewaysKnownSince
		}
		budget = retry.NewBudget(accruesFrom, r.settings.RetryRatio/budgetDivisor, cmp.Or(r.settings.RetryWindow, defaultRetryWindow))
		budget.SetSlackShare(accruesFrom, r.retrySlackShare())
		r.retryBudgets[service] = budget
	}
	return budget
}

// updateRetrySlack adjusts the budgets to the number of gateways. It ignores a decrease, which may only mean that some
// gateways are unreachable.
func (r *Router) updateRetrySlack(now time.Duration) {
	if r.gateways <= r.maxGateways {
		return
	}
	if r.maxGateways == 0 {
		r.gatewaysKnownSince = now
	}
	r.maxGateways = r.gateways
	for _, budget := range r.retryBudgets {
		budget.SetSlackShare(now, r.retrySlackShare())
	}
}

// retrySlackShare returns this gateway's share of the retry slack per window. The share is 0 until a member has sent the number
// of gateways; until then retries are limited to the deposits of requests.
func (r *Router) retrySlackShare() float64 {
	if r.maxGateways == 0 {
		return 0
	}
	return r.settings.RetrySlack / float64(max(r.maxGateways, minGateways)) / budgetDivisor
}
