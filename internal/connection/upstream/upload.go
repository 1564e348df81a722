package upstream

// upload is the write of a request's body.
type upload struct {
	// done is closed once the write has ended with err.
	done chan struct{}
	err  error
}

// finishedUpload is the upload of a request that was written at once.
var finishedUpload = newFinishedUpload()

func newFinishedUpload() *upload {
	done := make(chan struct{})
	close(done)
	return &upload{done: done}
}

// wait returns the error of the write once it has ended, at the latest when the connection is closed.
func (u *upload) wait() error {
	<-u.done
	return u.err
}

// succeeded reports whether the whole body was written.
func (u *upload) succeeded() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}
