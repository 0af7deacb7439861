package gateway

import (
	"crypto/subtle"
	"fmt"
	"net/http"
	"strings"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/failure"
)

// Headers of the callers' API.
const (
	// HeaderRequestID carries the request id that also appears in logs and errors.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey identifies a job, so that a repeated request does not create a second
	// one.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAtMostOnce, if "true", forbids starting a request more than once.
	HeaderAtMostOnce = "Sedgemast-At-Most-Once"
	// HeaderDeadline is the time allowed for the response, in milliseconds.
	HeaderDeadline = "Sedgemast-Deadline-Ms"
)

// bootstrapOperator is the operator name for the key in the settings.
const bootstrapOperator = "bootstrap"

func (g *Gateway) newRequestID() string {
	return fmt.Sprintf("%s-%d-%d", g.settings.Name, g.incarnation/1_000_000_000, g.sequence.Add(1))
}

func bearerToken(request *http.Request) (string, error) {
	secret, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !found || secret == "" {
		return "", failure.New(failure.Unauthenticated, "send Authorization: Bearer KEY", "there is no key in the request")
	}
	return secret, nil
}

// tenant returns the tenant that the key of the request belongs to.
func (g *Gateway) tenant(request *http.Request) (*configuration.Tenant, error) {
	secret, err := bearerToken(request)
	if err != nil {
		return nil, err
	}
	config := g.session.Config()
	identity, found := config.Identify(secret)
	if !found {
		return nil, failure.New(failure.Unauthenticated, "check the key, or ask an operator for a new one", "the key is not known")
	}
	if identity.Tenant == "" {
		return nil, failure.New(failure.Forbidden, "use a tenant's key", "an operator's key can't run requests")
	}
	tenant := config.Tenants[identity.Tenant]
	if tenant.Disabled {
		return nil, failure.New(failure.Forbidden, "ask an operator to enable the tenant", "tenant %s is disabled", tenant.Name)
	}
	return tenant, nil
}

// operator returns the name of the operator that the key of the request belongs to.
func (g *Gateway) operator(request *http.Request) (string, error) {
	secret, err := bearerToken(request)
	if err != nil {
		return "", err
	}
	digest := configuration.Digest(secret)
	own := g.settings.OperatorKeySHA256
	if own != "" && subtle.ConstantTimeCompare([]byte(digest), []byte(strings.ToLower(own))) == 1 {
		return bootstrapOperator, nil
	}
	identity, found := g.session.Config().Identify(secret)
	if !found {
		return "", failure.New(failure.Unauthenticated, "check the key, or ask another operator for a new one", "the key is not known")
	}
	if identity.Operator == "" {
		return "", failure.New(failure.Forbidden, "use an operator's key", "a tenant's key can't operate the system")
	}
	return identity.Operator, nil
}
