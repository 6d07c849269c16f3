package gateway

// badRequestCause is the logged reason for rejecting a client request: one of the constants below, a cause of package
// framing, or an error response of net/http.
type badRequestCause string

const (
	causeTargetOrIdentity badRequestCause = "target_or_identity" // no path in the request target, or more than one attempt ID
	causeHeadTooLarge     badRequestCause = "head_too_large"
	causeBodyLate         badRequestCause = "body_late"    // body incomplete at the deadline
	causeBodyFraming      badRequestCause = "body_framing" // body rejected by net/http
	causeShardKey         badRequestCause = "shard_key"    // shard key missing or malformed
)

// maxServerCauseBytes limits the logged part of an error response of net/http.
const maxServerCauseBytes = 100

// recordBadRequest counts a bad request and logs it subject to the rate limit.
func (g *Gateway) recordBadRequest(client string, cause badRequestCause) {
	g.count(countBadRequest)
	if g.logLimiter.Allow() {
		g.logger.Info().Str("event", "bad_request").Str("client", client).Str("cause", string(cause)).Msg("invalid request from a client")
	}
}
