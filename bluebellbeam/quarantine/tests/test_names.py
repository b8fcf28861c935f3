import unittest

from bluebellbeam.quarantine import request_names

REQUEST = ("digest", "POST", "a.example", "/p/x?y=1", b"body")


class TestRequestNames(unittest.TestCase):
    def test_repeated_request_has_the_same_names(self):
        prompt = (("a", 10), ("b", 5))
        self.assertEqual(
            request_names(*REQUEST, prompt), request_names(*REQUEST, prompt)
        )
        self.assertEqual(len(request_names(*REQUEST, prompt)), 2)
        self.assertEqual(request_names(*REQUEST, prompt)[0], request_names(*REQUEST)[0])

    def test_each_field_changes_the_name(self):
        found = {request_names(*REQUEST)}
        for index, value in enumerate(("", "PUT", "b.example", "/p/x?y=2", b"")):
            fields = [*REQUEST[:index], value, *REQUEST[index + 1 :]]
            found.add(request_names(*fields))
        self.assertEqual(len(found), 6)

    def test_fields_do_not_run_into_each_other(self):
        first = request_names("a", "b", "c", "d", b"e")
        self.assertNotEqual(first, request_names("ab", "", "c", "d", b"e"))
        self.assertNotEqual(first, request_names("a", "b", "c", "", b"de"))

    def test_name_shows_neither_body_nor_key(self):
        text = "".join(request_names("secret", "POST", "h", "/p", b"secret"))
        self.assertNotIn("secret", text)


if __name__ == "__main__":
    unittest.main()
