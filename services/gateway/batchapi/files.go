package batchapi

import (
	"context"
	"encoding/hex"
	"io"
	"mime"
	"mime/multipart"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const (
	defaultMaxFileBytes = 200 << 20
	purposeBatch        = "batch"
	maxFieldBytes       = 1 << 10 // of a form field other than the file
	uploadChunkBytes    = 256 << 10
)

func newID(prefix string) string {
	id := uuid.New()
	return prefix + hex.EncodeToString(id[:])
}

// uploadFile accepts a multipart form with the fields file and purpose, in any
// order. It streams the file to control without buffering it.
func (a *API) uploadFile(c fiber.Ctx, from requester) error {
	form, err := newFormReader(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	u := &upload{api: a, from: from, maxBytes: maxUploadBytes(from)}
	if err := u.readForm(ctx, form); err != nil {
		return err
	}
	file, err := u.finishUpload()
	if err != nil {
		return err
	}
	a.log.Info("file_uploaded", "file", file.ID, "workspace", from.workspace.Name, "bytes", file.Bytes)
	return c.JSON(newFileObject(file))
}

func maxUploadBytes(from requester) int64 {
	if n := from.index.Document().Limits.MaxBatchFileBytes; n > 0 {
		return min(int64(n), batch.MaxFileBytes)
	}
	return defaultMaxFileBytes
}

func newFormReader(c fiber.Ctx) (*multipart.Reader, error) {
	mediaType, params, err := mime.ParseMediaType(c.Get(fiber.HeaderContentType))
	if err != nil || mediaType != fiber.MIMEMultipartForm || params["boundary"] == "" {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "the body must be multipart/form-data")
	}
	body := c.Request().BodyStream()
	if body == nil {
		body = bytesReader(c.Request().Body())
	}
	return multipart.NewReader(body, params["boundary"]), nil
}

// upload is a file that is being streamed to control.
type upload struct {
	api      *API
	from     requester
	maxBytes int64
	purpose  string
	stream   *wire.Stream
}

func (u *upload) readForm(ctx context.Context, form *multipart.Reader) error {
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			return u.checkForm()
		}
		if err != nil {
			return formError(err)
		}
		switch part.FormName() {
		case "purpose":
			text, err := io.ReadAll(io.LimitReader(part, maxFieldBytes))
			if err != nil {
				return formError(err)
			}
			u.purpose = string(text)
		case "file":
			if err := u.sendFile(ctx, part); err != nil {
				return err
			}
		}
	}
}

func formError(err error) error {
	return outcome.New(outcome.BadRequest, outcome.NotRun, "the form is not whole: %v", err)
}

// checkForm validates the form fields. It runs before the end of the file is sent
// to control, so that the file of an invalid form is never recorded.
func (u *upload) checkForm() error {
	switch {
	case u.stream == nil:
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the field file is missing")
	case u.purpose != purposeBatch:
		u.stream.Close()
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the field purpose must be %q", purposeBatch)
	}
	return nil
}

// sendFile opens the stream to control and sends the contents of the file.
func (u *upload) sendFile(ctx context.Context, part *multipart.Part) error {
	if u.stream != nil {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the form has more than one file")
	}
	stream, err := u.api.openUpload(ctx)
	if err != nil {
		return err
	}
	u.stream = stream
	if err := u.copy(part); err != nil {
		stream.Close()
		return err
	}
	return nil
}

func (u *upload) copy(part *multipart.Part) error {
	open := rpc.FilePutOpen{ID: newID("file-"), Workspace: u.from.workspace.Name, Name: part.FileName(), Purpose: purposeBatch}
	if err := u.stream.Send(&open); err != nil {
		return u.sendError(err)
	}
	sent := int64(0)
	buffer := make([]byte, uploadChunkBytes)
	for {
		n, err := io.ReadFull(part, buffer)
		sent += int64(n)
		if sent > u.maxBytes {
			return outcome.New(outcome.BodyTooLarge, outcome.NotRun, "the file exceeds %d bytes", u.maxBytes)
		}
		if n > 0 {
			if err := u.stream.Send(&rpc.FileChunk{Data: buffer[:n]}); err != nil {
				return u.sendError(err)
			}
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return formError(err)
		}
	}
}

// sendError returns the reason for a failed send: control's refusal if it sent
// one, else err as a connection failure. The file was not recorded, because its
// end was never sent.
func (u *upload) sendError(err error) error {
	var response batch.File
	var refusal *outcome.Error
	if errors.As(u.stream.Recv(&response), &refusal) {
		return refusal
	}
	return outcome.New(outcome.Unreachable, outcome.NotRun, "upload to control broke: %v", err)
}

func (u *upload) finishUpload() (*batch.File, error) {
	defer u.stream.Close()
	if err := u.stream.CloseSend(); err != nil {
		return nil, u.sendError(err)
	}
	var file batch.File
	if err := u.stream.Recv(&file); err != nil {
		var refusal *outcome.Error
		if errors.As(err, &refusal) {
			return nil, refusal
		}
		return nil, outcome.New(outcome.Unreachable, outcome.MayHaveRun, "upload to control broke: %v", err)
	}
	return &file, nil
}

func (a *API) listFiles(c fiber.Ctx, from requester) error {
	after, limit, err := pageParams(c)
	if err != nil {
		return err
	}
	var files rpc.FileList
	request := rpc.ListRequest{Workspace: from.workspace.Name, After: after, Limit: limit}
	if err := a.call(rpc.MethodFileList, &request, &files); err != nil {
		return err
	}
	objects := make([]fileObject, 0, len(files.Files))
	for _, f := range files.Files {
		objects = append(objects, newFileObject(f))
	}
	return c.JSON(newList(objects, files.More, func(f fileObject) string { return f.ID }))
}

func (a *API) lookUpFile(c fiber.Ctx, from requester) (*batch.File, error) {
	file := new(batch.File)
	ref := rpc.FileRef{Workspace: from.workspace.Name, ID: pathParam(c, "id")}
	return file, a.call(rpc.MethodFileInfo, &ref, file)
}

func (a *API) getFileInfo(c fiber.Ctx, from requester) error {
	file, err := a.lookUpFile(c, from)
	if err != nil {
		return err
	}
	return c.JSON(newFileObject(file))
}

// downloadFile streams the contents of a file. It sends the length first, so that
// the client detects a truncated download.
func (a *API) downloadFile(c fiber.Ctx, from requester) error {
	file, err := a.lookUpFile(c, from)
	if err != nil {
		return err
	}
	reader, err := a.openFile(from.workspace.Name, file.ID)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, "application/octet-stream")
	return c.SendStream(reader, int(file.Bytes))
}

func (a *API) deleteFile(c fiber.Ctx, from requester) error {
	ref := rpc.FileRef{Workspace: from.workspace.Name, ID: pathParam(c, "id")}
	if err := a.call(rpc.MethodFileDelete, &ref, &rpc.Ack{}); err != nil {
		return err
	}
	return c.JSON(deletedObject{ID: ref.ID, Object: "file", Deleted: true})
}
