//! How the body of a response is delimited, and what is left of its head.

use {
    googletest::prelude::*,
    hyper::{
        HeaderMap, Method, StatusCode,
        header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
    },
    pointvane_serve::{BodyFraming, FramedHead, ResponseFault},
};

/// Decides the framing of a response to `method` with these lengths and codings; returns the headers too.
fn frame(
    method: &Method,
    status: u16,
    lengths: &[&'static str],
    codings: &[&'static str],
) -> (std::result::Result<FramedHead, ResponseFault>, HeaderMap) {
    let mut headers = HeaderMap::new();
    for length in lengths {
        headers.append(CONTENT_LENGTH, HeaderValue::from_static(length));
    }
    for coding in codings {
        headers.append(TRANSFER_ENCODING, HeaderValue::from_static(coding));
    }
    let framed = FramedHead::of(method, StatusCode::from_u16(status).unwrap(), &mut headers);
    (framed, headers)
}

#[track_caller]
fn expect_framing(lengths: &[&'static str], codings: &[&'static str], framing: BodyFraming) {
    let (framed, headers) = frame(&Method::GET, 200, lengths, codings);
    expect_that!(framed.map(|framed| framed.framing), ok(eq(framing)), "{lengths:?} {codings:?}");
    let left: Vec<&HeaderValue> = headers.get_all(CONTENT_LENGTH).iter().collect();
    let expected = match framing {
        BodyFraming::Length(length) => vec![HeaderValue::from(length)],
        _ => Vec::new(),
    };
    expect_that!(left, eq(&expected.iter().collect::<Vec<_>>()));
    expect_that!(headers.get(TRANSFER_ENCODING), none());
}

#[track_caller]
fn expect_fault(lengths: &[&'static str], codings: &[&'static str], fault: ResponseFault) {
    let (framed, _) = frame(&Method::GET, 200, lengths, codings);
    expect_that!(framed, err(eq(fault)), "{lengths:?} {codings:?}");
}

#[gtest]
fn one_framing_is_decided_and_left_in_the_head() {
    expect_framing(&[], &[], BodyFraming::UntilClose);
    expect_framing(&["0"], &[], BodyFraming::Length(0));
    expect_framing(&["12"], &[], BodyFraming::Length(12));
    expect_framing(&["12", "12"], &[], BodyFraming::Length(12));
    expect_framing(&["12, 12"], &[], BodyFraming::Length(12));
    expect_framing(&["012"], &[], BodyFraming::Length(12));
    expect_framing(&[], &["chunked"], BodyFraming::Chunked);
    expect_framing(&[], &["Chunked"], BodyFraming::Chunked);
    expect_framing(&[], &[" , chunked"], BodyFraming::Chunked);
}

/// Guards against a length that stays in a head although the chunks override it.
#[gtest]
fn chunks_override_a_length_and_the_connection_is_not_reused() {
    for length in ["12", "0", "-1", "many", ""] {
        expect_framing(&[length], &["chunked"], BodyFraming::Chunked);
        let (framed, _) = frame(&Method::GET, 200, &[length], &["chunked"]);
        expect_that!(framed.as_ref().unwrap().repaired, some(eq(ResponseFault::TwoLengths)));
        expect_that!(framed.unwrap().is_connection_reusable(), eq(false));
    }
}

#[gtest]
fn a_length_that_is_not_certain_is_refused() {
    expect_fault(&["12", "13"], &[], ResponseFault::TwoLengths);
    expect_fault(&["12, 13"], &[], ResponseFault::TwoLengths);
    for length in ["", "many", "-1", "+1", "1.0", "0x10", "12,", "18446744073709551616"] {
        expect_fault(&[length], &[], ResponseFault::InvalidLength);
    }
}

/// Guards against a coded body that is passed on as a plain one.
#[gtest]
fn a_coding_that_is_not_chunked_alone_is_refused() {
    let codings: [&[&str]; 10] = [
        &["gzip"],
        &["gzip, chunked"],
        &["gzip", "chunked"],
        &["chunked, identity"],
        &["chunked", "chunked"],
        &["chunked, chunked"],
        &["chunked;q=1"],
        &["identity"],
        &[""],
        &[","],
    ];
    for codings in codings {
        expect_fault(&[], codings, ResponseFault::UnknownCoding);
        expect_fault(&["12"], codings, ResponseFault::UnknownCoding);
    }
}

/// Guards against a response without a body whose head announces one.
#[gtest]
fn a_response_without_a_body_keeps_only_the_length_of_its_representation() {
    let length_left = |method: &Method, status, lengths: &[&'static str], codings: &[&'static str]| {
        let (framed, headers) = frame(method, status, lengths, codings);
        expect_that!(framed.map(|framed| framed.framing), ok(eq(BodyFraming::Absent)));
        expect_that!(headers.get(TRANSFER_ENCODING), none());
        headers.get(CONTENT_LENGTH).map(|length| length.to_str().unwrap().to_owned())
    };
    expect_that!(length_left(&Method::HEAD, 200, &["12"], &[]), some(eq("12")));
    expect_that!(length_left(&Method::HEAD, 200, &[], &["chunked"]), none());
    expect_that!(length_left(&Method::HEAD, 200, &["12", "13"], &[]), none());
    expect_that!(length_left(&Method::GET, 304, &["12"], &["chunked"]), some(eq("12")));
    expect_that!(length_left(&Method::GET, 204, &["12"], &[]), none());
    expect_that!(length_left(&Method::HEAD, 204, &["many"], &[]), none());
}

#[gtest]
fn a_body_that_is_read_in_another_way_than_it_is_framed_does_not_agree() {
    let framed = |framing| FramedHead { framing, repaired: None };
    expect_that!(framed(BodyFraming::Length(12)).agrees_with(Some(12)), eq(true));
    expect_that!(framed(BodyFraming::Length(12)).agrees_with(Some(13)), eq(false));
    expect_that!(framed(BodyFraming::Length(12)).agrees_with(None), eq(false));
    expect_that!(framed(BodyFraming::Absent).agrees_with(Some(0)), eq(true));
    expect_that!(framed(BodyFraming::Absent).agrees_with(None), eq(false));
    expect_that!(framed(BodyFraming::Chunked).agrees_with(None), eq(true));
    expect_that!(framed(BodyFraming::Chunked).agrees_with(Some(0)), eq(false));
    expect_that!(framed(BodyFraming::UntilClose).agrees_with(Some(12)), eq(false));
}
