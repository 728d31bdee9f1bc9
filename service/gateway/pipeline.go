package gateway

// pipeline is implemented by a http.ResponseWriter whose connection may carry several requests at
// once. A response that is broken off closes the connection and takes along those behind it.
type pipeline interface {
	// HoldPipeline keeps further requests from beginning until ReleasePipeline is called or the
	// response is written. It reports whether some have begun behind this one.
	HoldPipeline() (behind bool)
	ReleasePipeline()
}

// bufferPipelined reads more of a response whose beginning is in res.body if others are due behind
// it, so that the request can be retried if the response is broken off. It returns more if the
// response is to be streamed: no further request begins behind it then.
func (q *request) bufferPipelined(res *result) (more bool, err error) {
	p, ok := q.w.(pipeline)
	if !ok || !p.HoldPipeline() || res.resp.ContentLength > maxPipelinedBytes {
		return true, nil
	}
	if more, err = q.bufferBody(res, maxPipelinedBytes); !more {
		p.ReleasePipeline()
	}
	return more, err
}
