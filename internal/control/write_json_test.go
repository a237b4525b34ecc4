package control

import (
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
)

// A NaN, for example from a division by zero, cannot be encoded as JSON. An encoding
// error must not be answered with status 200 and an empty body that looks complete.
func TestWriteJSONAnswersEncodingErrorWith500(t *testing.T) {
	recorder := httptest.NewRecorder()
	writeJSON(recorder, http.StatusOK, map[string]float64{"busy": math.NaN()})
	if recorder.Code != http.StatusInternalServerError || recorder.Body.Len() == 0 {
		t.Errorf("got status %d and body %q, want 500 and a message", recorder.Code, recorder.Body)
	}
}
