package control

import (
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
)

// A share is divided by nothing and cannot be written as JSON. The operator was
// answered 200 with an empty body, framed as complete.
func TestWhatCannotBeWrittenIsNoSuccess(t *testing.T) {
	recorder := httptest.NewRecorder()
	writeJSON(recorder, http.StatusOK, map[string]float64{"busy": math.NaN()})
	if recorder.Code != http.StatusInternalServerError || recorder.Body.Len() == 0 {
		t.Errorf("answered %d %q", recorder.Code, recorder.Body)
	}
}
