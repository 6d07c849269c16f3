package gateway

// badRequestCause says in the log why a client's request was not taken for one: a cause of this list, one of package
// framing, or what net/http answered.
type badRequestCause string

const (
	causeTargetOrIdentity badRequestCause = "target_or_identity" // no path to route, or more than one attempt identity
	causeHeadTooLarge     badRequestCause = "head_too_large"
	causeBodyLate         badRequestCause = "body_late"    // not complete by the deadline
	causeBodyFraming      badRequestCause = "body_framing" // a body that net/http cannot read
)

// maxServerCauseBytes bounds what is logged of a refusal by net/http.
const maxServerCauseBytes = 100

// recordBadRequest counts a bad request and logs it, at a bounded rate.
func (g *Gateway) recordBadRequest(client string, cause badRequestCause) {
	g.count(countBadRequest)
	if g.logLimiter.Allow() {
		g.logger.Info().Str("event", "bad_request").Str("client", client).Str("cause", string(cause)).Msg("")
	}
}
