package placement

import (
	"slices"

	"github.com/rosemarypass/rosemarypass/coord/membership"
)

// Serves passes servers of the request's kind and of its pool or base model.
func Serves(request *Request, server *Server) bool {
	if request.Kind != server.Kind {
		return false
	}
	if request.Kind == membership.KindService {
		return server.Pool == request.Pool
	}
	return server.BaseModel == request.BaseModel
}

// NotLeaving passes servers that accept new requests.
func NotLeaving(_ *Request, server *Server) bool { return !server.Leaving }

// NotExcluded passes servers that the request has not tried yet.
func NotExcluded(request *Request, server *Server) bool {
	return !slices.Contains(request.Exclude, server.Server)
}
